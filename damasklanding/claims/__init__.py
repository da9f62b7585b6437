"""
damasklanding.claims
~~~~~~~~~~~~~~~~~~~~

At-most-once execution of requests that must not repeat.
"""
