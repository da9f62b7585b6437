"""
damasklanding.policy
~~~~~~~~~~~~~~~~~~~~

Overload control policies: concurrency limits, admission, queues, throttling,
retries and routing.
"""
