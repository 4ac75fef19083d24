"""Spreads configurations and endpoints from relays to proxies.

The controllers read and write the blackboard; their decisions (delta, lease,
ranking, admission, start rule) are in modules of their own.
"""
