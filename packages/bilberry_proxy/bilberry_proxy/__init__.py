"""The proxy beside each upstream: routes requests and admits work.

One side takes callers' HTTP requests and sends each as a call to the daemon
beside a chosen upstream. The other side receives calls and admits them to
the upstream beside it. Both live in one process and share no state but the
blackboard.
"""

__version__ = '0.1.0'
