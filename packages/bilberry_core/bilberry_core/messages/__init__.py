"""The messages between daemons, with one module per purpose of a stream.

Messages are named tuples; `registry.message` assigns each a number. A message
may gain fields at its end, with defaults: an older receiver ignores them. The
records nested in a message never change within a protocol version.
"""
