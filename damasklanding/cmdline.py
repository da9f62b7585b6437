"""
damasklanding.cmdline
~~~~~~~~~~~~~~~~~~~~~

The operators' tool ``damasklanding``.
"""

import click

from damasklanding import __version__
from damasklanding.commands.base import ToolGroup
from damasklanding.commands.base import shared_options
from damasklanding.commands.burn import report_group
from damasklanding.commands.files import apply_file
from damasklanding.commands.files import snapshot_group
from damasklanding.commands.fleet import FLEET_COMMANDS
from damasklanding.commands.keys import key_group
from damasklanding.commands.resources import RESOURCE_KINDS
from damasklanding.commands.resources import resource_group

__all__ = ['main', 'tool_group']

_HELP = """Drive a fleet of damasklanding.

Every command accepts the flags below, before or after its name.

\b
Examples:
  export DAMASKLANDING_ADMIN=127.0.0.1:7600,127.0.0.2:7600,127.0.0.3:7600
  export DAMASKLANDING_TOKEN_FILE=tokens
  damasklanding apply examples/kitami.json --wait
  damasklanding key grant lender-1
  damasklanding data-centre out obihiro --wait
  damasklanding status

\b
Exit status: 0 done, 2 bad input, 3 not found, 4 conflict, 5 forbidden,
6 unavailable, 7 corrupt, 8 accepted but not in force in time, 1 others.

\b
Shell completion (bash; zsh and fish likewise):
  eval "$(_DAMASKLANDING_COMPLETE=bash_source damasklanding)"
"""


def tool_group():
    """Return the click group of the whole tool."""
    group = ToolGroup(
        'damasklanding',
        help=_HELP,
        params=shared_options(with_environment=True),
        context_settings={'help_option_names': ['-h', '--help']},
        callback=_no_action,
    )
    for resource_kind in RESOURCE_KINDS:
        group.add_command(resource_group(resource_kind))
    group.add_command(key_group)
    group.add_command(report_group)
    group.add_command(snapshot_group)
    group.add_command(apply_file)
    for command in FLEET_COMMANDS:
        group.add_command(command)
    return click.version_option(__version__, prog_name='damasklanding')(group)


def _no_action(**_values):
    return None


def main():
    """Run the tool."""
    tool_group()(prog_name='damasklanding')


if __name__ == '__main__':
    main()
