"""
damasklanding.daemon
~~~~~~~~~~~~~~~~~~~~

The daemon ``damasklandingd``: takes its settings, runs until it is asked to
stop, and then stops as planned.
"""

import signal
import sys

import gevent
from gevent import monkey

__all__ = ['main', 'run']


def run(settings):
    """Run one daemon process until SIGTERM or SIGINT."""
    from gevent.event import Event
    from loguru import logger

    from damasklanding.composition import Daemon
    from damasklanding.lines import LineWriter
    from damasklanding.logs import configure_logs

    writer = LineWriter(sys.stdout.fileno())
    writer.start()
    configure_logs(
        settings.log_level, settings.log_json, settings.name, writer.write
    )
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    # What may change while a process runs is read from the settings file
    # when it is needed, so the signal needs no more than a line.
    gevent.signal_handler(
        signal.SIGHUP, logger.info, 'the settings file may have changed'
    )
    daemon = Daemon(settings, writer.write)
    daemon.start()
    logger.info('started with roles {}', ','.join(settings.roles))
    stopping.wait()
    logger.info('stopping as planned')
    daemon.stop()
    logger.info('stopped')
    writer.flush()


def main():
    """Entry point of ``damasklandingd``."""
    # No listener speaks TLS and the digests are built in, so the process
    # does without the OpenSSL libraries, which are 6 MB of its memory.
    for name in ('ssl', '_hashlib'):
        sys.modules[name] = None
    # Addresses are IP numbers.  The default resolver would hand each one
    # that is connected to over to a thread and wait for it.
    gevent.config.resolver = 'block'
    monkey.patch_all(ssl=False)
    from damasklanding.settings import daemon_command

    daemon_command(run)()


if __name__ == '__main__':
    main()
