"""The diagrams in docs/architecture.md agree with the imports of the code.

`python -m tests.test_architecture` prints both diagrams generated from the code. Paste them
into the page after a change of the imports.
"""

from __future__ import annotations

import ast
import functools
import pathlib
import re
import unittest
from collections import defaultdict
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "architecture.md"
PRODUCT = ("common", "core", "edge", "cli", "replay")
MAY_IMPORT = {
    "common": set(),
    "core": {"common"},
    "edge": {"common"},
    "cli": {"common", "core", "edge"},
    "replay": {"common", "cli"},
    "testbed": set(PRODUCT),
}
DETAILED = ("common", "core", "edge")  # packages with a diagram of their subpackages
ARROW = re.compile(r"^\s*([\w.]+) --> ([\w.]+(?: & [\w.]+)*)\s*$", re.MULTILINE)
Graph = dict[str, set[str]]


@functools.cache
def module_paths() -> dict[str, pathlib.Path]:
    """Returns the path of every module of the project by its dotted name."""
    paths = {}
    for path in sorted((ROOT / "kelpstage").rglob("*.py")):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        paths[name.removesuffix(".__init__")] = path
    return paths


def is_for_type_checking(*, node: ast.AST) -> bool:
    return isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test)


def import_nodes(
    *, node: ast.AST, in_functions: bool, for_types: bool
) -> Iterator[ast.Import | ast.ImportFrom]:
    """Yields the import statements below a node; those in functions and for types are optional."""
    for child in ast.iter_child_nodes(node):
        if isinstance(child, (ast.Import, ast.ImportFrom)):
            yield child
        if isinstance(child, (ast.Import, ast.ImportFrom, ast.expr)):
            continue  # these contain no import statements
        is_function = isinstance(child, (ast.FunctionDef, ast.AsyncFunctionDef))
        is_for_types = is_for_type_checking(node=child)
        if (in_functions or not is_function) and (for_types or not is_for_types):
            yield from import_nodes(node=child, in_functions=in_functions, for_types=for_types)


def imported_names(*, node: ast.Import | ast.ImportFrom, modules: set[str]) -> Iterator[str]:
    """Returns the modules of the project that an import statement names."""
    if isinstance(node, ast.Import):
        names = [alias.name for alias in node.names]
    elif node.level:
        raise ValueError(f"relative import, line {node.lineno}")
    else:
        inner = [f"{node.module}.{alias.name}" for alias in node.names]
        names = [name if name in modules else node.module or "" for name in inner]
    return (name for name in names if name in modules)


def import_graph(*, in_functions: bool, for_types: bool) -> Graph:
    """Returns the modules of the project that each module imports."""
    paths = module_paths()
    graph: Graph = {}
    for module, path in paths.items():
        tree = ast.parse(path.read_text(encoding="utf-8"))
        graph[module] = set()
        for node in import_nodes(node=tree, in_functions=in_functions, for_types=for_types):
            graph[module].update(imported_names(node=node, modules=set(paths)))
        graph[module].discard(module)
    return graph


def package_of(*, module: str) -> str:
    """Returns the package of a module: `edge` for `kelpstage.edge.gather.table`."""
    return ".".join(module.split(".")[1:2])


def subpackage_of(*, module: str) -> str:
    """Returns `edge.gather` for `kelpstage.edge.gather.table`, `edge` for `kelpstage.edge.app`."""
    parts = module.split(".")[1:]
    path = module_paths()[module]
    depth = 2 if len(parts) > 2 or path.name == "__init__.py" else 1
    return ".".join(parts[:depth])


def package_edges() -> Graph:
    """Returns the packages that each package imports, also in functions and for types."""
    edges: Graph = defaultdict(set)
    for module, targets in import_graph(in_functions=True, for_types=True).items():
        for target in targets:
            pair = package_of(module=module), package_of(module=target)
            if all(pair) and pair[0] != pair[1]:
                edges[pair[0]].add(pair[1])
    return dict(edges)


def subpackage_edges() -> Graph:
    """Returns the imports between subpackages of the same package, without imports that are
    only for type checking."""
    edges: Graph = defaultdict(set)
    for module, targets in import_graph(in_functions=True, for_types=False).items():
        for target in targets:
            package = package_of(module=module)
            if package not in DETAILED or package != package_of(module=target):
                continue
            pair = subpackage_of(module=module), subpackage_of(module=target)
            if pair[0] != pair[1]:
                edges[pair[0]].add(pair[1])
    return dict(edges)


def strongly_connected(*, graph: Graph) -> list[list[str]]:
    """Returns the cycles of a graph: the sets of nodes that can reach each other.

    >>> strongly_connected(graph={"a": {"b"}, "b": {"a", "c"}, "c": set()})
    [['a', 'b']]
    """
    reached = {node: reachable(graph=graph, start=node) for node in graph}
    cycles = {
        tuple(sorted(other for other in reached[node] if node in reached[other]))
        for node in graph
        if node in reached[node]
    }
    return [list(cycle) for cycle in sorted(cycles)]


def reachable(*, graph: Graph, start: str) -> set[str]:
    """Returns the nodes that can be reached from a node in one or more steps."""
    seen: set[str] = set()
    pending = [start]
    while pending:
        for target in graph[pending.pop()] - seen:
            seen.add(target)
            pending.append(target)
    return seen


def diagram_on_page(*, heading: str) -> Graph:
    """Returns the arrows of the Mermaid diagram below a heading of the page."""
    text = PAGE.read_text(encoding="utf-8")
    block = text.partition(f"\n{heading}\n")[2].partition("```mermaid\n")[2].partition("```")[0]
    return {source: set(targets.split(" & ")) for source, targets in ARROW.findall(block)}


def as_mermaid(*, edges: Graph) -> str:
    lines = [f"  {source} --> {' & '.join(sorted(edges[source]))}" for source in sorted(edges)]
    return "\n".join(["```mermaid", "graph TD", *lines, "```"])


class Diagrams(unittest.TestCase):
    maxDiff = None

    def test_package_imports_match_the_diagram(self) -> None:
        self.assertEqual(package_edges(), diagram_on_page(heading="### Packages"))

    def test_subpackage_imports_match_the_diagram(self) -> None:
        self.assertEqual(subpackage_edges(), diagram_on_page(heading="### Inside the packages"))

    def test_every_path_on_the_page_exists(self) -> None:
        named = re.findall(r"`([\w./-]+\.py)`", PAGE.read_text(encoding="utf-8"))
        self.assertGreater(len(named), 40)
        missing = [
            path
            for path in named
            if not (ROOT / path).is_file() and not (ROOT / "kelpstage" / path).is_file()
        ]
        self.assertEqual([], missing)

    def test_every_class_in_the_table_of_state_is_in_the_named_file(self) -> None:
        text = PAGE.read_text(encoding="utf-8").partition("\n## State\n")[2].partition("\n## ")[0]
        owners = re.findall(r"`(\w+)` in `([\w./-]+\.py)`", text)
        self.assertGreater(len(owners), 15)
        wrong = [
            f"{name} in {path}"
            for name, path in owners
            if f"class {name}" not in self._source(path=path)
        ]
        self.assertEqual([], wrong)

    @staticmethod
    def _source(*, path: str) -> str:
        file = ROOT / "kelpstage" / path
        return file.read_text(encoding="utf-8") if file.is_file() else ""


class Imports(unittest.TestCase):
    maxDiff = None

    def test_packages_import_only_allowed_packages(self) -> None:
        wrong = [
            f"{module} imports {target}"
            for module, targets in import_graph(in_functions=True, for_types=True).items()
            for target in sorted(targets)
            if package_of(module=module) != package_of(module=target)
            and package_of(module=target) not in MAY_IMPORT[package_of(module=module)]
        ]
        self.assertEqual([], wrong)

    def test_modules_have_no_import_cycles(self) -> None:
        graph = import_graph(in_functions=False, for_types=False)
        product = {
            module: targets
            for module, targets in graph.items()
            if package_of(module=module) in PRODUCT
        }
        self.assertGreater(len(product), 100)
        internal = {module: targets & set(product) for module, targets in product.items()}
        cycles = strongly_connected(graph=internal)
        self.assertEqual([], [" <-> ".join(cycle) for cycle in cycles])


class ChecksOnKnownGraphs(unittest.TestCase):
    """Tests the checks themselves on small graphs."""

    def test_a_cycle_is_found(self) -> None:
        graph = {"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}
        self.assertEqual([["a", "b", "c"]], strongly_connected(graph=graph))

    def test_an_acyclic_graph_has_no_cycles(self) -> None:
        self.assertEqual([], strongly_connected(graph={"a": {"b", "c"}, "b": {"c"}, "c": set()}))

    def test_imports_are_selected_by_their_position(self) -> None:
        source = (
            "import a\nif TYPE_CHECKING:\n    import b\n"
            "def f():\n    import c\ntry:\n    import d\nexcept ImportError:\n    pass\n"
        )

        def names(*, in_functions: bool, for_types: bool) -> list[str]:
            nodes = import_nodes(
                node=ast.parse(source), in_functions=in_functions, for_types=for_types
            )
            return [alias.name for node in nodes for alias in node.names]

        self.assertEqual(["a", "d"], names(in_functions=False, for_types=False))
        self.assertEqual(["a", "b", "c", "d"], names(in_functions=True, for_types=True))


if __name__ == "__main__":
    print("### Packages\n" + as_mermaid(edges=package_edges()))
    print("### Inside the packages\n" + as_mermaid(edges=subpackage_edges()))
