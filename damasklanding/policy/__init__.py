"""
damasklanding.policy
~~~~~~~~~~~~~~~~~~~~

Decisions under overload: limits, queues, retries and routing.
"""
