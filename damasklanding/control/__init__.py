"""
damasklanding.control
~~~~~~~~~~~~~~~~~~~~~

Replicated log, group membership and administration of the control hosts.
"""
