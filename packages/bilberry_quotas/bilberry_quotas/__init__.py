"""Keeps the quotas of organisations over all daemons together.

The leader of the replicas grants allowances (`granter`), and proxies spend
them (`spender`). The decisions do no I/O and read no clock.
"""
