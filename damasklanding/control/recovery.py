"""
damasklanding.control.recovery
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Disaster recovery after the permanent loss of a quorum: makes one surviving
data folder the only member of its groups.  Entries that only the lost hosts
had stored are lost.
"""

import os

from damasklanding.control.incarnation import renew_incarnation
from damasklanding.control.incarnation import stored_incarnation
from damasklanding.control.journal import VOTE_NAME
from damasklanding.control.journal import Journal
from damasklanding.control.journal import Vote
from damasklanding.control.members import Member
from damasklanding.control.members import encode_members
from damasklanding.control.storage import locked_folder
from damasklanding.errors import NotFound
from damasklanding.messages import LogEntry

__all__ = ['continue_alone']


def continue_alone(data_folder, name, address):
    """
    Make a stopped control host the only member of all its groups.

    The folder gets a new incarnation, so that lost hosts which come back can't
    count its votes and form a quorum with it.

    :param data_folder: data folder of the stopped host.
    :param name: name of the host.
    :param address: peer address of the host.
    :return: index of the new member list by group.
    :raises NotFound: the folder holds no groups.
    """
    with locked_folder(data_folder):
        group_names = _group_names(data_folder)
        if not group_names or not stored_incarnation(data_folder):
            raise NotFound(
                f'{data_folder} holds no group',
                'name the data folder of a stopped control host',
            )
        member = Member(name, address, renew_incarnation(data_folder))
        return {
            group: _append_single_member(
                os.path.join(data_folder, group), member
            )
            for group in group_names
        }


def _group_names(data_folder):
    return sorted(
        name
        for name in os.listdir(data_folder)
        if os.path.exists(os.path.join(data_folder, name, VOTE_NAME))
    )


def _append_single_member(folder, member):
    journal = Journal(folder)
    term = journal.vote.term + 1
    index = journal.last_index + 1
    journal.vote = Vote(term, member.name)
    journal.sync_vote()
    marker = str(index).encode()
    journal.append(
        [
            LogEntry(term, index, 'members', encode_members((member,))),
            LogEntry(term, index + 1, 'settled', marker),
        ]
    )
    journal.sync()
    journal.close()
    return index
