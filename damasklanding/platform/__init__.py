"""
damasklanding.platform
~~~~~~~~~~~~~~~~~~~~~~

Adapter to the users' platform.  It converts the platform's names and formats
to the types of damasklanding and contains no decision logic.
"""
