"""
damasklanding.commands.burn
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The command ``report burn``.
"""

import click
import msgspec

from damasklanding.adminclient import api_path
from damasklanding.adminclient import successful_replies
from damasklanding.burn import BurnReport
from damasklanding.clock import wall_ms
from damasklanding.commands.base import ToolGroup
from damasklanding.errors import BadInput
from damasklanding.report import burn_text
from damasklanding.report import fleet_burn

__all__ = ['report_group']

report_group = ToolGroup(
    'report',
    help="""Report on the service level.

\b
Example:
  damasklanding report burn --html burn.html
""",
)


@report_group.command('burn')
@click.option('--html', metavar='FILE', help='Write a page with plots too.')
@click.pass_obj
def burn(tool, html):
    """
    Show how fast each service and profile spends its error budget.

    Sums what every control host has collected. JUDGEMENT is page when 5 min
    and 1 h both burn at 14.4 or more, ticket when 1 h and 6 h burn at 6.
    """
    path = api_path('burn', series=1 if html else None)
    replies = tool.client.call_all(path)
    reports = [
        msgspec.convert(reply.body['burn'], BurnReport)
        for reply in successful_replies(replies)
        if reply.body['burn'] is not None
    ]
    unreachable = [reply.address for reply in replies if reply.error]
    profiles = tool.client.call('GET', api_path('profiles'))['items']
    objectives = {item['name']: item['objective_ratio'] for item in profiles}
    fleet = fleet_burn(reports, objectives, unreachable)
    if html:
        _write_page(html, fleet, objectives)
        tool.note(f'page written to {html}')
    tool.show(fleet, burn_text(fleet))


def _write_page(path, fleet, objectives):
    from damasklanding.page import burn_page

    text = burn_page(fleet, objectives, wall_ms())
    try:
        with open(path, 'w', encoding='utf-8') as file:
            file.write(text)
    except OSError as error:
        raise BadInput(
            f'--html is {path!r}, {error.strerror}',
            'name a file in a folder that you may write',
        ) from error
