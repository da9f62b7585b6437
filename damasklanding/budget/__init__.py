"""
damasklanding.budget
~~~~~~~~~~~~~~~~~~~~

Limits the request rate of each organisation across the whole fleet.
"""
