"""
damasklanding.budget
~~~~~~~~~~~~~~~~~~~~

Organisation rates held across the fleet.
"""
