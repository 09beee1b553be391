"""The picture on docs/architecture.md agrees with the imports that the code has.

`python -m tests.test_architecture` prints both blocks of the picture as the code has them,
to be pasted into the page after a change of the imports.
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
DETAILED = ("common", "core", "edge")  # packages whose subpackages have a picture as well
ARROW = re.compile(r"^\s*([\w.]+) --> ([\w.]+(?: & [\w.]+)*)\s*$", re.MULTILINE)
Graph = dict[str, set[str]]


@functools.cache
def module_paths() -> dict[str, pathlib.Path]:
    """Every module of the project by its dotted name."""
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
    """Import statements below a node, those of functions and of type checking on demand."""
    for child in ast.iter_child_nodes(node):
        if isinstance(child, (ast.Import, ast.ImportFrom)):
            yield child
        if isinstance(child, (ast.Import, ast.ImportFrom, ast.expr)):
            continue  # nothing to import below these
        is_function = isinstance(child, (ast.FunctionDef, ast.AsyncFunctionDef))
        is_for_types = is_for_type_checking(node=child)
        if (in_functions or not is_function) and (for_types or not is_for_types):
            yield from import_nodes(node=child, in_functions=in_functions, for_types=for_types)


def imported_names(*, node: ast.Import | ast.ImportFrom, modules: set[str]) -> Iterator[str]:
    """The project's modules that one import statement names."""
    if isinstance(node, ast.Import):
        names = [alias.name for alias in node.names]
    elif node.level:
        raise ValueError(f"relative import, line {node.lineno}")
    else:
        inner = [f"{node.module}.{alias.name}" for alias in node.names]
        names = [name if name in modules else node.module or "" for name in inner]
    return (name for name in names if name in modules)


def import_graph(*, in_functions: bool, for_types: bool) -> Graph:
    """From each module to the modules of the project that it imports."""
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
    """`kelpstage.edge.gather.table` is in package `edge`."""
    return ".".join(module.split(".")[1:2])


def subpackage_of(*, module: str) -> str:
    """`kelpstage.edge.gather.table` is in `edge.gather`, `kelpstage.edge.app` in `edge`."""
    parts = module.split(".")[1:]
    path = module_paths()[module]
    depth = 2 if len(parts) > 2 or path.name == "__init__.py" else 1
    return ".".join(parts[:depth])


def package_edges() -> Graph:
    """Which package imports which, with the imports inside functions and for types."""
    edges: Graph = defaultdict(set)
    for module, targets in import_graph(in_functions=True, for_types=True).items():
        for target in targets:
            pair = package_of(module=module), package_of(module=target)
            if all(pair) and pair[0] != pair[1]:
                edges[pair[0]].add(pair[1])
    return dict(edges)


def subpackage_edges() -> Graph:
    """The same among the subpackages of one package, each package for itself; imports for
    type checking alone are left out."""
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
    """Circles of a graph: the sets of more than one node that reach each other.

    >>> strongly_connected(graph={"a": {"b"}, "b": {"a", "c"}, "c": set()})
    [['a', 'b']]
    """
    reached = {node: reachable(graph=graph, start=node) for node in graph}
    circles = {
        tuple(sorted(other for other in reached[node] if node in reached[other]))
        for node in graph
        if node in reached[node]
    }
    return [list(circle) for circle in sorted(circles)]


def reachable(*, graph: Graph, start: str) -> set[str]:
    """What can be reached from a node in one step or more."""
    seen: set[str] = set()
    ahead = [start]
    while ahead:
        for target in graph[ahead.pop()] - seen:
            seen.add(target)
            ahead.append(target)
    return seen


def picture(*, heading: str) -> Graph:
    """The arrows of the mermaid block behind a heading of the page."""
    text = PAGE.read_text(encoding="utf-8")
    block = text.partition(f"\n{heading}\n")[2].partition("```mermaid\n")[2].partition("```")[0]
    return {source: set(targets.split(" & ")) for source, targets in ARROW.findall(block)}


def as_mermaid(*, edges: Graph) -> str:
    lines = [f"  {source} --> {' & '.join(sorted(edges[source]))}" for source in sorted(edges)]
    return "\n".join(["```mermaid", "graph TD", *lines, "```"])


class Picture(unittest.TestCase):
    maxDiff = None

    def test_packages_import_each_other_as_drawn(self) -> None:
        self.assertEqual(package_edges(), picture(heading="### Packages"))

    def test_subpackages_import_each_other_as_drawn(self) -> None:
        self.assertEqual(subpackage_edges(), picture(heading="### Inside the packages"))

    def test_every_path_on_the_page_exists(self) -> None:
        named = re.findall(r"`([\w./-]+\.py)`", PAGE.read_text(encoding="utf-8"))
        self.assertGreater(len(named), 40)
        missing = [
            path
            for path in named
            if not (ROOT / path).is_file() and not (ROOT / "kelpstage" / path).is_file()
        ]
        self.assertEqual([], missing)

    def test_every_class_in_the_table_of_state_is_where_it_says(self) -> None:
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

    def test_no_package_imports_upward(self) -> None:
        wrong = [
            f"{module} imports {target}"
            for module, targets in import_graph(in_functions=True, for_types=True).items()
            for target in sorted(targets)
            if package_of(module=module) != package_of(module=target)
            and package_of(module=target) not in MAY_IMPORT[package_of(module=module)]
        ]
        self.assertEqual([], wrong)

    def test_no_circle_of_modules(self) -> None:
        graph = import_graph(in_functions=False, for_types=False)
        product = {
            module: targets
            for module, targets in graph.items()
            if package_of(module=module) in PRODUCT
        }
        self.assertGreater(len(product), 100)
        outward = {module: targets & set(product) for module, targets in product.items()}
        circles = strongly_connected(graph=outward)
        self.assertEqual([], [" <-> ".join(circle) for circle in circles])


class OnPlantedGraphs(unittest.TestCase):
    """The checks themselves find what they are for."""

    def test_a_circle_is_found(self) -> None:
        graph = {"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}
        self.assertEqual([["a", "b", "c"]], strongly_connected(graph=graph))

    def test_a_graph_without_circles_has_none(self) -> None:
        self.assertEqual([], strongly_connected(graph={"a": {"b", "c"}, "b": {"c"}, "c": set()}))

    def test_imports_are_told_apart_by_where_they_stand(self) -> None:
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
