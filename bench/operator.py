"""
bench.operator
~~~~~~~~~~~~~~

The operator's hand on a running fleet: commands, configuration and a view.
"""

import random
from uuid import uuid4

import msgspec

from damasklanding.control.client import ControlClient
from damasklanding.errors import error_from_code
from damasklanding.fleet import commands
from damasklanding.fleet import resources
from damasklanding.link import Identity
from damasklanding.linkpool import LinkPool
from damasklanding.node.view import FleetView
from damasklanding.node.view import key_digest
from damasklanding.node.watch import WatchClient

__all__ = ['Operator']

PROPOSE_TIMEOUT_MS = 10_000
#: Section of a configuration, command, its field and the resource's class.
SECTIONS = (
    ('profiles', commands.PutProfile, 'profile', resources.Profile),
    ('services', commands.PutService, 'service', resources.Service),
    (
        'organisations',
        commands.PutOrganisation,
        'organisation',
        resources.Organisation,
    ),
)


class Operator:
    """
    Sends commands to the control hosts and follows the configuration.

    :ivar view: a view of the whole configuration.
    """

    def __init__(self, addresses, secret):
        identity = Identity('bench', 'tool', uuid4().hex)
        self._pool = LinkPool(identity, secret)

        def seeds():
            return [(address, address) for address in addresses]

        self._client = ControlClient(self._pool, seeds)
        self.view = FleetView()
        self._watch = WatchClient(
            self.view,
            LinkPool(identity, secret),
            identity,
            seeds,
            random.Random(1),
            all_services=True,
        )
        self._watch.start()

    def propose(self, command, request_id=None, expected_revision=None):
        """
        Send a command and return its outcome.

        :raises DamasklandingError: where it was refused.
        """
        envelope = commands.Envelope(
            request_id=request_id or uuid4().hex,
            operator='bench',
            command=command,
            expected_revision=expected_revision,
        )
        data = self._client.propose(
            'config', msgspec.msgpack.encode(envelope), PROPOSE_TIMEOUT_MS
        )
        outcome = msgspec.msgpack.decode(data, type=commands.Outcome)
        if outcome.error:
            raise error_from_code(outcome.error, outcome.problem)
        return outcome

    def configure(self, configuration):
        """Apply a dict of data centres, profiles, services, organisations."""
        for item in configuration.get('data_centres', ()):
            name = item if isinstance(item, str) else item['name']
            self.propose(commands.SetDataCentre(name=name))
        for section, command, field, cls in SECTIONS:
            for item in configuration.get(section, ()):
                resource = msgspec.convert(item, cls)
                self.propose(command(**{field: resource}))

    def grant_key(self, organisation, key, key_id=None):
        """Grant a key, given in clear, to an organisation."""
        granted = resources.Key(
            key_id=key_id or f'{organisation}-key', digest=key_digest(key)
        )
        return self.propose(
            commands.GrantKey(organisation=organisation, key=granted)
        )

    def withdraw_key(self, organisation, key_id=None):
        """Withdraw a key."""
        return self.propose(
            commands.WithdrawKey(
                organisation=organisation,
                key_id=key_id or f'{organisation}-key',
            )
        )

    def set_data_centre(self, name, out):
        """Take a data centre out or in."""
        return self.propose(commands.SetDataCentre(name=name, out=out))

    def registered(self):
        """Return how many backend servers are registered and in."""
        return sum(
            1
            for backend in self.view.state.all('backend').values()
            if backend.service and backend.state == 'in'
        )

    def close(self):
        """Stop following."""
        self._watch.stop()
        self._pool.close()
