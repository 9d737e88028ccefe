"""The base class of the sidecar's own exceptions."""

from __future__ import annotations


class SidecarError(Exception):
    """An input of the sidecar is invalid; the message names the input and its value."""
