"""
damasklanding.control
~~~~~~~~~~~~~~~~~~~~~

Replicated log, membership and administration on the control hosts.
"""
