"""The heathertack daemon."""

from heathertackd._disk import FolderDisk
from heathertackd._main import main

__all__ = ["FolderDisk", "main"]
