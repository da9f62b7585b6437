"""
damasklanding.commands
~~~~~~~~~~~~~~~~~~~~~~

Commands of the operators' tool, one module a subject.
"""
