"""The proxy that runs beside each upstream: routing and admission control.

The routing side receives callers' HTTP requests and sends each one as a call
to the daemon beside a chosen upstream. The admission side receives calls and
admits them to the upstream beside it. Both run in one process and share no
state except the `Board`.
"""

__version__ = '0.1.0'
