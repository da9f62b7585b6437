"""Logs of the tests are written as those of the daemon."""

from damasklanding.logs import configure_logs

configure_logs()
