"""Writes a file atomically: it appears complete or not at all.

The content is written to a temporary file in the same folder, which is moved into place. The temporary file
must never be left behind.
"""

import os
import tempfile
from collections.abc import Callable
from pathlib import Path

OWNER_ONLY_MODE = 0o600  # readable and writable by the owner alone


def write(
    path: str | Path,
    content: bytes,
    move: Callable[[str, Path], None] = os.replace,
    mode: int = OWNER_ONLY_MODE,
) -> None:
    """Writes `content` to `path`.

    Args:
        path: the file to write.
        content: its content.
        move: puts the temporary file into place. os.replace overwrites an existing file; os.link fails if
            there is one.
        mode: the permissions of the file.

    Raises:
        OSError: the folder or the file cannot be written.
    """
    target = Path(path)
    handle, temporary = tempfile.mkstemp(dir=target.parent, prefix=f".{target.name}.")
    try:
        with open(handle, "wb") as file:
            file.write(content)
        os.chmod(temporary, mode)
        move(temporary, target)
    finally:
        Path(temporary).unlink(missing_ok=True)
