"""The proving ground of the sidecar: worlds, days played from them, and a judge of their logs."""

__version__ = "0.1.0"
