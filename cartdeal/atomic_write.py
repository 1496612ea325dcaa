"""Writes a file that appears whole or not at all.

The one place that makes a draft beside a file and moves it into its place. It must never leave one behind.
"""

import os
import tempfile
from pathlib import Path


def write(path, text: bytes, put=os.replace, mode=0o600):
    """`put` moves the draft: os.replace writes over what is there, os.link fails where something is."""
    target = Path(path)
    handle, draft = tempfile.mkstemp(dir=target.parent, prefix=f".{target.name}.")
    try:
        with open(handle, "wb") as file:
            file.write(text)
        os.chmod(draft, mode)
        put(draft, target)
    finally:
        Path(draft).unlink(missing_ok=True)
