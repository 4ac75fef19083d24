"""Distributes configurations and endpoints from relays to proxies.

The controllers read and write the blackboard; their rules (delta, lease,
ranking, admission, start rule) are in modules of their own.
"""
