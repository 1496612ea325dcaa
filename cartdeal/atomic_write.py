"""Writes a file that appears complete or not at all.

The one place that writes a draft beside a file and moves it into place. It must never leave a draft behind.
"""

import os
import tempfile
from collections.abc import Callable
from pathlib import Path

OWNER_ONLY = 0o600  # permissions: read and written by its owner alone


def write(
    path: str | Path,
    content: bytes,
    move: Callable[[str, Path], None] = os.replace,
    mode: int = OWNER_ONLY,
) -> None:
    """Writes `content` to `path`.

    `move` puts the draft into place: os.replace writes over what is there, os.link fails where something is.
    Raises OSError where the folder or the file can't be written.
    """
    target = Path(path)
    handle, draft = tempfile.mkstemp(dir=target.parent, prefix=f".{target.name}.")
    try:
        with open(handle, "wb") as file:
            file.write(content)
        os.chmod(draft, mode)
        move(draft, target)
    finally:
        Path(draft).unlink(missing_ok=True)
