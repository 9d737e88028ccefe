"""The base of all errors that the sidecar raises itself."""

from __future__ import annotations


class SidecarError(Exception):
    """Something that the sidecar was given can't be used; the message names the thing and the value."""
