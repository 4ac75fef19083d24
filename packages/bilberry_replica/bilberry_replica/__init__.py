"""Replicates accepted configurations through a consensus log.

Consensus consists of pure functions on immutable values (`consensus`).
Committed entries build a register of accepted versions (`register`).
`controller` connects both to the disk and to network streams.
"""

__version__ = '0.1.0'
