"""
damasklanding.report
~~~~~~~~~~~~~~~~~~~~

The report on service-level burn: per service and profile the burn of each
window against the objective, the judgement, and what burnt the budget.
"""

import msgspec

from damasklanding.burn import WINDOWS
from damasklanding.burn import BurnReport
from damasklanding.burn import burn_rate
from damasklanding.burn import judge
from damasklanding.burn import merge_reports
from damasklanding.tables import render_table

__all__ = [
    'BurnLine',
    'FleetBurn',
    'OrganisationShare',
    'ReasonShare',
    'burn_text',
    'fleet_burn',
    'series_points',
]

DEFAULT_OBJECTIVE_RATIO = 0.995
MIN_ORGANISATION_REQUESTS = 5
TOP_REASONS = 5
LONGEST = WINDOWS[-1].name

_HEADINGS = ['SERVICE', 'PROFILE', 'OBJECTIVE', 'GOOD', 'BAD']
_HEADINGS += [f'BURN_{window.name}' for window in WINDOWS]
_HEADINGS += ['JUDGEMENT', 'WORST_ORGANISATION', 'REASONS']


class ReasonShare(msgspec.Struct):
    """Bad requests of one reason over the longest window."""

    reason: str
    count: int


class OrganisationShare(msgspec.Struct):
    """How one organisation fared over the longest window."""

    organisation: str
    good: int
    bad: int

    @property
    def good_ratio(self):
        """Return good over all requests."""
        return self.good / (self.good + self.bad)


class BurnLine(msgspec.Struct):
    """
    Burn of one service and profile.

    :ivar good: good requests of the longest window; ``bad`` likewise.
    :ivar burn_rates: burn rate by window name.
    :ivar worst: the worst-served organisation with enough requests.
    """

    service: str
    profile: str
    objective_ratio: float
    good: int
    bad: int
    burn_rates: dict[str, float]
    judgement: str
    reasons: list[ReasonShare]
    worst: OrganisationShare | None


class FleetBurn(msgspec.Struct):
    """
    The whole report.

    :ivar covered_ms: longest time that a control host has summed.
    :ivar unreachable: addresses of control hosts that did not answer; what
        they have summed is missing.
    """

    covered_ms: int
    unreachable: list[str]
    lines: list[BurnLine]
    merged: BurnReport


def fleet_burn(reports, objectives, unreachable=()):
    """
    Sum the control hosts' reports and judge them.

    :param reports: list of :class:`damasklanding.burn.BurnReport`.
    :param objectives: objective ratio by profile name.
    """
    merged = merge_reports(reports)
    windows = {sums.window: _by_pair(sums.tallies) for sums in merged.windows}
    lines = [
        _line(pair, windows, objectives) for pair in sorted(windows[LONGEST])
    ]
    return FleetBurn(merged.covered_ms, list(unreachable), lines, merged)


def _by_pair(tallies):
    pairs = {}
    for tally in tallies:
        pair = pairs.setdefault((tally.service, tally.profile), [])
        pair.append(tally)
    return pairs


def _good_and_bad(tallies):
    good = sum(tally.count for tally in tallies if not tally.reason)
    return good, sum(tally.count for tally in tallies) - good


def _line(pair, windows, objectives):
    service, profile = pair
    objective = objectives.get(profile, DEFAULT_OBJECTIVE_RATIO)
    counts = {
        name: _good_and_bad(pairs.get(pair, ()))
        for name, pairs in windows.items()
    }
    rates = {
        name: burn_rate(good, bad, objective)
        for name, (good, bad) in counts.items()
    }
    bad_requests = {name: bad for name, (_, bad) in counts.items()}
    tallies = windows[LONGEST][pair]
    good, bad = counts[LONGEST]
    return BurnLine(
        service,
        profile,
        objective,
        good,
        bad,
        {name: round(rate, 3) for name, rate in rates.items()},
        judge(rates, bad_requests),
        _reasons(tallies),
        _worst(tallies),
    )


def _reasons(tallies):
    counts = {}
    for tally in tallies:
        if tally.reason:
            counts[tally.reason] = counts.get(tally.reason, 0) + tally.count
    shares = [ReasonShare(*item) for item in counts.items()]
    return sorted(shares, key=lambda share: (-share.count, share.reason))


def _worst(tallies):
    shares = {}
    for tally in tallies:
        share = shares.setdefault(
            tally.organisation, OrganisationShare(tally.organisation, 0, 0)
        )
        if tally.reason:
            share.bad += tally.count
        else:
            share.good += tally.count
    known = [
        share
        for share in shares.values()
        if share.good + share.bad >= MIN_ORGANISATION_REQUESTS
    ]
    return min(known, key=lambda share: share.good_ratio, default=None)


def burn_text(fleet):
    """Return a :class:`FleetBurn` as a table for people."""
    minutes = fleet.covered_ms / 60_000
    rows = [_row(line) for line in fleet.lines]
    parts = [
        render_table(_HEADINGS, rows) if rows else 'no requests were reported',
        f'summed over {minutes:.1f} min; counts are of the last {LONGEST}',
    ]
    parts += [
        f'control host at {address} did not answer: its share is missing'
        for address in fleet.unreachable
    ]
    return '\n'.join(parts)


def _row(line):
    worst = ''
    if line.worst is not None:
        worst = f'{line.worst.organisation} {line.worst.good_ratio:.4f}'
    reasons = [
        f'{share.reason} {share.count}' for share in line.reasons[:TOP_REASONS]
    ]
    return [
        line.service,
        line.profile,
        f'{line.objective_ratio:g}',
        line.good,
        line.bad,
        *(line.burn_rates[window.name] for window in WINDOWS),
        line.judgement,
        worst,
        reasons,
    ]


def series_points(merged, window, objectives):
    """
    Return the burn rate over time by service and profile.

    :param window: one of :data:`damasklanding.burn.WINDOWS`.
    :return: dict of pair to list of minutes ago and burn rate, oldest first.
    """
    sums = next(item for item in merged.windows if item.window == window.name)
    slots = {}
    for bucket in sums.series:
        slot = bucket.age_ms // window.bucket_ms
        pair = slots.setdefault((bucket.service, bucket.profile), {})
        good, bad = pair.get(slot, (0, 0))
        pair[slot] = (good + bucket.good, bad + bucket.bad)
    return {
        (service, profile): [
            (
                -slot * window.bucket_ms / 60_000,
                burn_rate(
                    *counts,
                    objectives.get(profile, DEFAULT_OBJECTIVE_RATIO),
                ),
            )
            for slot, counts in sorted(pair.items(), reverse=True)
        ]
        for (service, profile), pair in sorted(slots.items())
    }
