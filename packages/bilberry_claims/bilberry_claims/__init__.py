"""Claims, which make a non-idempotent request run at most once.

Claim holders on the replicas store claims durably. A client in each proxy
claims a request with a majority of the holders before it is dispatched.
"""
