"""Claims and quarantine: a non-idempotent request runs at most once.

The holders keep claims durably, the client asks a majority of them, and the
quarantine tells requests that crash upstreams from those beside them.
"""

__version__ = '0.1.0'
