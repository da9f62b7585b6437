"""
bench
~~~~~

Benchmarks and the demonstration, on real processes over loopback.
"""
