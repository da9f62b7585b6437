"""
damasklanding.page
~~~~~~~~~~~~~~~~~~

The burn report as one self-contained HTML page, with plots by plotly.
"""

import html
from importlib.resources import files
from string import Template
import time

from damasklanding.burn import JUDGEMENTS
from damasklanding.burn import WINDOWS
from damasklanding.errors import BadSetting
from damasklanding.report import series_points

__all__ = ['burn_page']

TEMPLATE = 'burn.html'
PLOT_HEIGHT_PX = 420


def burn_page(fleet, objectives, wall_ms):
    """
    Return the page as text.

    :param fleet: :class:`damasklanding.report.FleetBurn`.
    :param objectives: objective ratio by profile name.
    :param wall_ms: time of the report.
    :raises BadSetting: where plotly is not installed.
    """
    plots = [_reason_plot(fleet)]
    plots += [_rate_plot(fleet, window, objectives) for window in WINDOWS[1:]]
    template = files('damasklanding').joinpath('templates', TEMPLATE)
    return Template(template.read_text(encoding='utf-8')).substitute(
        time=time.strftime(
            '%Y-%m-%d %H:%M:%S UTC', time.gmtime(wall_ms / 1000)
        ),
        covered=f'{fleet.covered_ms / 60_000:.1f}',
        missing=_missing(fleet.unreachable),
        headings=''.join(f'<th>burn {window.name}</th>' for window in WINDOWS),
        rows='\n'.join(_row(line) for line in fleet.lines),
        plots='\n'.join(_embed(plots)),
    )


def _graph_objects():
    try:
        from plotly import graph_objects
    except ImportError as error:
        raise BadSetting(
            '--html needs plotly, which is not installed',
            "install it with pip install 'damasklanding[report]'",
        ) from error
    return graph_objects


def _embed(plots):
    from plotly.io import to_html

    for number, plot in enumerate(plots):
        yield to_html(
            plot,
            full_html=False,
            include_plotlyjs=number == 0,
            div_id=f'plot-{number}',
            default_height=f'{PLOT_HEIGHT_PX}px',
        )


def _label(line):
    return html.escape(f'{line.service} / {line.profile}')


def _reason_plot(fleet):
    graph = _graph_objects()
    reasons = sorted(
        {share.reason for line in fleet.lines for share in line.reasons}
    )
    labels = [_label(line) for line in fleet.lines]
    bars = [
        graph.Bar(
            name=html.escape(reason),
            x=labels,
            y=[_count(line, reason) for line in fleet.lines],
        )
        for reason in reasons
    ]
    return graph.Figure(
        bars,
        {
            'barmode': 'stack',
            'title': 'What burnt the budget: bad requests by reason',
            'yaxis': {'title': 'requests'},
        },
    )


def _count(line, reason):
    return sum(share.count for share in line.reasons if share.reason == reason)


def _rate_plot(fleet, window, objectives):
    graph = _graph_objects()
    series = series_points(fleet.merged, window, objectives)
    lines = [
        graph.Scatter(
            name=html.escape(f'{service} / {profile}'),
            x=[minutes for minutes, _ in points],
            y=[rate for _, rate in points],
            mode='lines+markers',
        )
        for (service, profile), points in series.items()
    ]
    figure = graph.Figure(
        lines,
        {
            'title': f'Burn rate over the last {window.name}',
            'xaxis': {'title': 'minutes from now'},
            'yaxis': {'title': 'burn rate', 'rangemode': 'tozero'},
        },
    )
    for judgement, _, threshold in JUDGEMENTS:
        figure.add_hline(
            y=threshold, line_dash='dot', annotation_text=judgement
        )
    return figure


def _row(line):
    rates = ''.join(
        f'<td class="number">{line.burn_rates[window.name]:.2f}</td>'
        for window in WINDOWS
    )
    worst = ''
    if line.worst is not None:
        worst = f'{line.worst.organisation} {line.worst.good_ratio:.4f}'
    reasons = ', '.join(
        f'{share.reason} {share.count}' for share in line.reasons
    )
    return (
        f'<tr class="{line.judgement}">'
        f'<td>{html.escape(line.service)}</td>'
        f'<td>{html.escape(line.profile)}</td>'
        f'<td class="number">{line.objective_ratio:g}</td>'
        f'<td class="number">{line.good}</td>'
        f'<td class="number">{line.bad}</td>{rates}'
        f'<td>{line.judgement}</td>'
        f'<td>{html.escape(worst)}</td>'
        f'<td>{html.escape(reasons)}</td></tr>'
    )


def _missing(addresses):
    if not addresses:
        return ''
    names = html.escape(', '.join(addresses))
    return f'<p class="page">No answer from {names}: its share is missing.</p>'
