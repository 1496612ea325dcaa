"""Which listed server an address belongs to.

A new process may come up at the address of one that has gone, and be listed before the list says that the old
one has gone. An attempt at the old one would then reach the new one, which may be in another group of servers
that drop repeats. The server that was listed last with an address has it; the one before counts as superseded
until it is listed with another address, or the newer one leaves the address.
"""


class ServerAddresses:
    """The addresses of the listed servers, by the servers' indices."""

    def __init__(self):
        self.addresses: dict[int, str] = {}
        self.owners: dict[str, int] = {}  # the server that was listed last with an address
        self.successors: dict[int, int] = {}  # by superseded server: the one that has its address now

    def list_server(self, index: int, address: str, first_new_index: int) -> int | None:
        """Records a listed server; returns the server that it supersedes by that, if any.

        Of servers that are new in the same list, from `first_new_index` on, none supersedes another: the list
        has no order of their starts.
        """
        if self.addresses.get(index) == address:
            self.owners.setdefault(address, index)
            return None
        self.remove(index)
        self.addresses[index] = address
        owner = self.owners.setdefault(address, index)
        if owner == index or owner >= first_new_index:
            return None
        self.owners[address] = index
        self.successors[owner] = index
        return owner

    def is_superseded(self, index: int) -> bool:
        """Whether a newer server has the address of this one."""
        successor = self.successors.get(index)
        if successor is None:
            return False
        if self.addresses.get(successor) == self.addresses.get(index):
            return True
        del self.successors[index]
        return False

    def remove(self, index: int):
        """Forgets a server, which has left the list or its address."""
        address = self.addresses.pop(index, None)
        self.successors.pop(index, None)
        if address is None or self.owners.get(address) != index:
            return
        del self.owners[address]
        for older, successor in self.successors.items():
            if successor == index and self.addresses.get(older) == address:
                self.owners[address] = older
