"""
damasklanding.metrics
~~~~~~~~~~~~~~~~~~~~~

Counters and gauges by declared name.  Counting touches one dictionary; the
aioprometheus registry is filled only when the metrics route is read.
"""

__all__ = ['COUNTERS', 'GAUGES', 'Metrics']

#: Help text and label names by counter.
COUNTERS = {
    'requests_total': (
        'Requests that entered the fleet here, by what became of them',
        ('service', 'profile', 'organisation', 'outcome', 'reason'),
    ),
    'calls_total': (
        'Calls for the backend server beside this node',
        ('service', 'importance', 'reason'),
    ),
    'attempts_total': (
        'Attempts sent to backend servers, by kind',
        ('service', 'kind'),
    ),
    'backend_crashes_total': (
        'Ends of the backend server beside this node that were not planned',
        ('service',),
    ),
    'quarantined_requests_total': (
        'Calls refused because such requests crash backend servers',
        ('service',),
    ),
    'refusals_total': (
        'Refusals by the deciding part',
        ('part', 'code', 'importance', 'organisation'),
    ),
    'input_errors_total': (
        'Malformed input by listener',
        ('listener', 'code'),
    ),
    'clients_cut_total': (
        'Connections of clients that were closed or refused at a bound',
        ('action', 'bound'),
    ),
    'link_events_total': ('Peer connections by event', ('event',)),
    'grants_total': ('Budget grants by result', ('result',)),
    'claims_total': ('At-most-once claims by verdict', ('verdict',)),
    'entries_refused_total': (
        'Committed log entries that can not be applied',
        ('group',),
    ),
    'snapshots_installed_total': (
        'Snapshots of a leader that replaced the state of this host',
        ('group',),
    ),
    'changes_total': ('Configuration changes applied', ('kind',)),
    'elections_total': ('Elections by group and result', ('group', 'result')),
    'series_dropped_total': (
        'Counts without a series, by counter: too many label values',
        ('name',),
    ),
}

#: Help text and label names by gauge.
GAUGES = {
    'configuration_revision': ('Revision in force', ()),
    'configuration_age_ms': ('Age of the proof of freshness', ()),
    'services_without_server': (
        'Services that have lost their last usable backend server',
        (),
    ),
    'last_servers_kept': (
        '1 while the backend server leaves and is kept in use, as the last '
        'usable one of its service',
        (),
    ),
    'control_losses_borne': (
        'Losses of control hosts that a group bears now, on its leader',
        ('group',),
    ),
    'control_losses_wanted': (
        'Losses of control hosts that a group should bear, on its leader',
        ('group',),
    ),
    'concurrency_limit': ('Adaptive concurrency limit', ('service',)),
    'concurrency_running': ('Calls running', ('service',)),
    'queue_length': ('Calls waiting for a slot', ('service',)),
    'cold': ('1 while the backend server counts as cold', ('service',)),
}


MAX_SERIES = 20_000


class Metrics:
    """
    Counts by name and label values; renders on demand.

    The number of series is bounded; counts beyond it go to
    ``series_dropped_total``.
    """

    def __init__(self):
        self._counts = {}
        self._gauges = {}
        self._collectors = []
        self._listeners = {}

    def add(self, name, *labels, amount=1):
        """
        Add to a declared counter.

        :param labels: values in the order of the declaration.
        """
        key = (name, labels)
        count = self._counts.get(key)
        if count is None:
            key = self._new_series(key)
            count = self._counts.get(key, 0)
        self._counts[key] = count + amount
        listener = self._listeners.get(name)
        if listener is not None:
            listener(labels, amount)

    def listen(self, name, listener):
        """Call a function with labels and amount on each count of a name."""
        self._listeners[name] = listener

    def set(self, name, value, *labels):
        """Set a declared gauge."""
        self._gauges[name, labels] = value

    def unset(self, name, *labels):
        """Remove a gauge that this process no longer measures."""
        self._gauges.pop((name, labels), None)

    def collect_with(self, collector):
        """Call a function before each rendering, to set gauges."""
        self._collectors.append(collector)

    def value(self, name, *labels):
        """Return a counter's or gauge's value, 0 where never touched."""
        key = (name, labels)
        return self._counts.get(key, self._gauges.get(key, 0))

    def total(self, name):
        """Return the sum of a counter over all its labels."""
        return sum(
            count for (key, _), count in self._counts.items() if key == name
        )

    def render(self, accept=()):
        """
        Return the exposition as bytes and its HTTP headers.

        A counter without a declaration, or with a wrong number of labels,
        is left out.

        :param accept: media types of the request's Accept header.
        """
        from aioprometheus import Counter
        from aioprometheus import Gauge
        from aioprometheus import Registry
        from aioprometheus import render

        for collector in self._collectors:
            collector()
        registry = Registry()
        _fill(registry, Counter, COUNTERS, self._counts)
        _fill(registry, Gauge, GAUGES, self._gauges)
        return render(registry, list(accept))

    def _new_series(self, key):
        if len(self._counts) < MAX_SERIES:
            return key
        return 'series_dropped_total', (key[0],)


def _fill(registry, kind, declared, values):
    collectors = {}
    for (name, labels), value in sorted(values.items(), key=repr):
        text, label_names = declared.get(name, ('', None))
        if label_names is None or len(label_names) != len(labels):
            continue
        collector = collectors.get(name)
        if collector is None:
            collector = kind(f'damasklanding_{name}', text, registry=registry)
            collectors[name] = collector
        names = dict(zip(label_names, map(_escape, labels), strict=True))
        collector.set(names, value)


def _escape(value):
    text = str(value).replace('\\', '\\\\')
    return text.replace('\n', '\\n').replace('"', '\\"')
