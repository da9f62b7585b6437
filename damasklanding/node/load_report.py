"""
damasklanding.node.load_report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The load report that goes back with each answer, made anew only after a few
milliseconds.
"""

from damasklanding.policy.types import encode_load

__all__ = ['LoadReportCache']

#: A report travels for about a millisecond and is used for many times that.
MAX_AGE_MS = 5.0


class LoadReportCache:
    """
    The latest load report of this node.

    :param load: function that makes a
        :class:`~damasklanding.policy.types.LoadReport`.
    """

    def __init__(self, load, now_ms):
        self._load = load
        self._now_ms = now_ms
        self._made_ms = float('-inf')
        self._report = None
        self._encoded = None

    def report(self):
        """Return a report that is at most :data:`MAX_AGE_MS` old."""
        now_ms = self._now_ms()
        if now_ms - self._made_ms > MAX_AGE_MS:
            self._made_ms = now_ms
            self._report = self._load()
            self._encoded = None
        return self._report

    def expire(self):
        """Make the next report anew."""
        self._made_ms = float('-inf')

    def encoded(self):
        """Return the same as :meth:`report`, in bytes."""
        report = self.report()
        if self._encoded is None:
            self._encoded = encode_load(report)
        return self._encoded
