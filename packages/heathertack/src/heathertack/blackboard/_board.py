"""Typed sections with a single writer each."""

from __future__ import annotations

from typing import Any, ClassVar, Generic, Protocol, TypeVar, cast

Content = TypeVar("Content")


class BlackboardError(Exception):
    """A controller used a section that it did not declare."""


class Section(Generic[Content]):
    """Key of a section of the blackboard.

    Parameters
    ----------
    name : str
        Name used in error messages.
    initial : Content
        Immutable content before the first write.
    """

    def __init__(self, name: str, initial: Content) -> None:
        self._name = name
        self._initial = initial

    @property
    def name(self) -> str:
        """Name used in error messages."""
        return self._name

    @property
    def initial(self) -> Content:
        """Content before the first write."""
        return self._initial


class SectionUser(Protocol):
    """A controller that declares the sections it uses."""

    #: Sections that it reads.
    READS: ClassVar[tuple[Section[Any], ...]]
    #: Sections of which it is the only writer.
    WRITES: ClassVar[tuple[Section[Any], ...]]


class Blackboard:
    """Holds the current content of every section."""

    def __init__(self) -> None:
        self._contents: dict[Section[Any], Any] = {}
        self._writers: dict[Section[Any], SectionUser] = {}

    def register(self, user: SectionUser) -> None:
        """Make a controller the writer of the sections it declares."""
        for section in user.WRITES:
            writer = self._writers.setdefault(section, user)
            if writer is not user:
                message = f"section {section.name} already has a writer"
                raise BlackboardError(message)

    def release(self, user: SectionUser) -> None:
        """Release a controller's sections so that another can become their writer."""
        for section in user.WRITES:
            if self._writers.get(section) is user:
                del self._writers[section]

    def read(self, section: Section[Content]) -> Content:
        """Return the content of a section."""
        return cast(Content, self._contents.get(section, section.initial))

    def write(
        self, user: SectionUser, section: Section[Content], content: Content
    ) -> None:
        """Replace the content of a section.

        Raises
        ------
        BlackboardError
            If the controller is not the writer of the section.
        """
        if self._writers.get(section) is not user:
            name = type(user).__name__
            raise BlackboardError(f"{name} is not the writer of {section.name}")
        self._contents[section] = content
