"""Claims: a non-idempotent request runs at most once.

Holders on the replicas keep claims durably; a client in each proxy claims a
request with a majority of them before it is dispatched.
"""
