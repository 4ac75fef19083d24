"""Decides the steps of roll-outs, on the leader of the replicas.

The decisions (`judgement`, `planning`) do no I/O and read no clock.
"""
