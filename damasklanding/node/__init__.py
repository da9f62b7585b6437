"""
damasklanding.node
~~~~~~~~~~~~~~~~~~

Data path beside each backend server.
"""
