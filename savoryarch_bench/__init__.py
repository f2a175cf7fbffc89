"""Load and experiment tool: runs the product's decisions in virtual time and checks the goals.

``python -m savoryarch_bench --seed N --seconds S``; see ``docs/BENCH.md``.
"""
