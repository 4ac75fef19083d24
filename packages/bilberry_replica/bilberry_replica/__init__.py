"""The accepted configuration: replicated, durable, ordered.

Consensus is plain functions over values (`consensus`), the accepted state is
a register (`register`), and `controller` connects both to disk and streams.
"""

__version__ = '0.1.0'
