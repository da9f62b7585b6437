"""
damasklanding.fleet
~~~~~~~~~~~~~~~~~~~

Resource types of the replicated configuration and the functions that
validate and apply changes to them.
"""
