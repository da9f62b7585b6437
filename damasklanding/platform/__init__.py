"""
damasklanding.platform
~~~~~~~~~~~~~~~~~~~~~~

The adapter to the users' platform: its names and formats, decoded once into
the product's types.  Nothing here decides anything.
"""
