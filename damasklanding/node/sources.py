"""
damasklanding.node.sources
~~~~~~~~~~~~~~~~~~~~~~~~~~

The order in which a node tries the sources of its configuration: control
hosts before other nodes, and near ones before distant ones.  The control host
in a data centre thereby receives a change once for all nodes there.
"""

__all__ = ['WatchSources']

SHUNNED_MS = 3_000  # a source that failed is tried after the others
STALE_MS = 1_500  # a source without recent proof is tried after those with it
MAX_RELAYS = 3

#: Distances of a source, nearest first.
SAME_DATA_CENTRE = 0
SAME_REGION = 1
ELSEWHERE = 2


class WatchSources:
    """
    Control hosts and nodes that a node can follow.

    :param view: :class:`~damasklanding.node.view.FleetView` that lists them.
    :param own_name: name of this node.
    :param own_data_centre: its data centre, empty if unknown.
    :param control_hosts: function that returns the control hosts to try
        first, as pairs of name and peer address.
    :param random: ``random.Random``, spreads the nodes over equal sources.
    """

    def __init__(self, view, own_name, own_data_centre, control_hosts, random):
        self._view = view
        self._own_name = own_name
        self._own_data_centre = own_data_centre
        self._control_hosts = control_hosts
        self._random = random
        self._failed_ms = {}
        self._stale_ms = {}

    def ordered(self):
        """Return addresses to try: control hosts, then other nodes."""
        control = [address for _, address in self._control_hosts()]
        data_centres = self._data_centres()
        control += [a for a in data_centres if a not in control]
        # In another order each time, so that the nodes spread.
        self._random.shuffle(control)
        control.sort(
            key=lambda address: (
                self._has_failed(address),
                self._is_stale(address),
                self._distance(data_centres.get(address, '')),
            )
        )
        return control + self._relays()

    def nearest(self):
        """
        Return the address of a control host in the own data centre.

        :return: None if none is known, or all of them failed or were stale
            recently.
        """
        for address in self._data_centres():
            if self.is_near(address) and not (
                self._has_failed(address) or self._is_stale(address)
            ):
                return address
        return None

    def knows_near(self):
        """Return whether a control host in the own data centre is listed."""
        return any(map(self.is_near, self._data_centres()))

    def is_near(self, address):
        """Return whether a control host stands in the own data centre."""
        data_centre = self._data_centres().get(address, '')
        return self._distance(data_centre) == SAME_DATA_CENTRE

    def note_failed(self, address):
        """Try a source after the others for some time."""
        _note(self._failed_ms, address, self._view.now_ms(), SHUNNED_MS)

    def note_stale(self, address):
        """Try a source after the others that did not fail for some time."""
        _note(self._stale_ms, address, self._view.now_ms(), STALE_MS)

    def _data_centres(self):
        """Return the data centre of each listed control host by address."""
        return {
            host.peer_address: host.data_centre
            for host in self._view.state.all('control_host').values()
        }

    def _distance(self, data_centre):
        own = self._own_data_centre
        if not own or not data_centre:
            return ELSEWHERE
        if own == data_centre:
            return SAME_DATA_CENTRE
        region = self._region_of(own)
        if region and region == self._region_of(data_centre):
            return SAME_REGION
        return ELSEWHERE

    def _region_of(self, name):
        data_centre = self._view.state.get('data_centre', name)
        return data_centre.region if data_centre is not None else ''

    def _has_failed(self, address):
        failed_ms = self._failed_ms.get(address, float('-inf'))
        return self._view.now_ms() - failed_ms < SHUNNED_MS

    def _is_stale(self, address):
        stale_ms = self._stale_ms.get(address, float('-inf'))
        return self._view.now_ms() - stale_ms < STALE_MS

    def _relays(self):
        """Return some nodes, those in the own data centre first."""
        state = self._view.state
        own = self._own_name
        data_centres = {
            backend.peer_address: backend.data_centre
            for backend in state.all('backend').values()
            if backend.name != own
        }
        for shard in state.all('budget_shard').values():
            if shard.owner and shard.owner != own:
                data_centres.setdefault(shard.peer_address, '')
        relays = sorted(data_centres)
        self._random.shuffle(relays)
        relays.sort(key=lambda a: self._distance(data_centres[a]))
        return relays[:MAX_RELAYS]


def _note(times_ms, address, now_ms, kept_ms):
    """Note the time of an event, and forget those that no longer count."""
    for known in [a for a, at in times_ms.items() if now_ms - at >= kept_ms]:
        del times_ms[known]
    times_ms[address] = now_ms
