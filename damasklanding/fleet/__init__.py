"""
damasklanding.fleet
~~~~~~~~~~~~~~~~~~~

Aggregates of the replicated configuration and their rules.
"""
