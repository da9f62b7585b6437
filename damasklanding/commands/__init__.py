"""
damasklanding.commands
~~~~~~~~~~~~~~~~~~~~~~

Commands of the operators' tool, grouped by topic.
"""
