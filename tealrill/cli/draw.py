"""Drawings of graphs: Graphviz DOT by pydot, SVG laid out by grandalf and written by svgwrite.

In a large graph the nodes of a layer whose keys share the part before the first hyphen are drawn as
one box with their number, since a drawing of ten thousand boxes is unreadable.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import pydot
import svgwrite
from grandalf.graphs import Edge as LayoutEdge
from grandalf.graphs import Graph as LayoutGraph
from grandalf.graphs import Vertex
from grandalf.layouts import SugiyamaLayout

from tealrill.graphs.model import ON_ENDED as AFTER_EITHER
from tealrill.graphs.model import ON_FAILED, PER_TASK, Shape

MAX_BOXES: Final = 200
_HEIGHT: Final = 28
_CHAR_WIDTH: Final = 7.2
_GAP: Final = 24
_COLOURS: Final = {
    "done": "#cfe8cf",
    "failed": "#f2c4c4",
    "cancelled": "#dddddd",
    "skipped": "#eeeeee",
    "released": "#cfe0f5",
}
_STYLES: Final = {
    PER_TASK: ("each", "bold"),
    ON_FAILED: ("failed", "dashed"),
    AFTER_EITHER: ("ended", "dotted"),
}


@dataclass(frozen=True, slots=True)
class Box:
    """A box of the drawing: a node or a group of nodes."""

    label: str
    tasks: int
    colour: str = "white"


@dataclass(frozen=True, slots=True)
class Drawing:
    """Boxes and the arrows between them: from, to, kind of dependency."""

    boxes: list[Box]
    arrows: list[tuple[int, int, int]]


def make_drawing(
    shape: Shape, states: Sequence[str] | None = None, max_boxes: int = MAX_BOXES
) -> Drawing:
    """Return the drawing of a graph, with its nodes grouped if there are more than `max_boxes`."""
    if shape.nodes <= max_boxes:
        group = list(range(shape.nodes))
        names = [f"{key}" for key in shape.keys]
    else:
        group, names = _group_by_layer(shape)
    members: list[list[int]] = [[] for _ in names]
    for index, number in enumerate(group):
        members[number].append(index)
    boxes = []
    for name, inside in zip(names, members, strict=True):
        box_states = {states[i] for i in inside} if states is not None else set()
        colour = _COLOURS.get(next(iter(box_states)), "white") if len(box_states) == 1 else "white"
        label = name if len(inside) == 1 else f"{name} ×{len(inside)}"
        boxes.append(Box(label, sum(shape.tasks[i] for i in inside), colour))
    arrows: dict[tuple[int, int, int], None] = {}
    for index in range(shape.nodes):
        for other, kind in shape.dependencies(index):
            if group[other] != group[index]:
                arrows[(group[other], group[index], kind)] = None
    return Drawing(boxes, list(arrows))


def _group_by_layer(shape: Shape) -> tuple[list[int], list[str]]:
    layer = [0] * shape.nodes
    for index in shape.topological_order:
        layer[index] = 1 + max(
            (layer[predecessor] for predecessor, _ in shape.dependencies(index)), default=-1
        )
    numbers: dict[tuple[int, str], int] = {}
    group = []
    for index, key in enumerate(shape.keys):
        name = (layer[index], key.partition("-")[0])
        group.append(numbers.setdefault(name, len(numbers)))
    return group, [name for _, name in numbers]


def dot(drawing: Drawing, name: str) -> str:
    """Return the drawing in Graphviz DOT."""
    graph = pydot.Dot(f'"{name}"', graph_type="digraph", rankdir="LR")
    graph.set_node_defaults(shape="box", style="filled", fillcolor="white")
    for number, box in enumerate(drawing.boxes):
        label = f'"{box.label}\\n{box.tasks} tasks"'
        graph.add_node(pydot.Node(f"n{number}", label=label, fillcolor=f'"{box.colour}"'))
    for start, end, kind in drawing.arrows:
        attributes: dict[str, Any] = {}
        if kind in _STYLES:
            label, style = _STYLES[kind]
            attributes = {"label": label, "style": style}
        graph.add_edge(pydot.Edge(f"n{start}", f"n{end}", **attributes))
    return str(graph.to_string())


class _VertexView:
    """View of a vertex for grandalf: its size, and its centre, which the layout sets."""

    def __init__(self, width: float) -> None:
        self.w = width
        self.h = float(_HEIGHT)
        self.xy = (0.0, 0.0)


def svg(drawing: Drawing, name: str) -> str:
    """Return the drawing in SVG, with its layers from top to bottom."""
    vertices = [Vertex(box) for box in drawing.boxes]
    for vertex in vertices:
        vertex.view = _VertexView(_CHAR_WIDTH * len(_box_text(vertex.data)) + 16)
    edges = [LayoutEdge(vertices[a], vertices[b]) for a, b, _ in drawing.arrows]
    right, lowest = float(_GAP), 0.0
    for component in LayoutGraph(vertices, edges).C:
        layout = SugiyamaLayout(component)
        layout.init_all()
        layout.draw()
        inside = list(component.sV)
        left = min(v.view.xy[0] - v.view.w / 2 for v in inside)
        top = min(v.view.xy[1] - v.view.h / 2 for v in inside)
        for vertex in inside:
            x, y = vertex.view.xy
            vertex.view.xy = (x - left + right, y - top + _GAP)
            lowest = max(lowest, vertex.view.xy[1] + _HEIGHT / 2)
        right = max(v.view.xy[0] + v.view.w / 2 for v in inside) + _GAP
    page = svgwrite.Drawing(size=(right, lowest + _GAP), debug=False)
    page.add(svgwrite.base.Title(name))
    arrow = page.marker(insert=(8, 4), size=(8, 8), orient="auto")
    arrow.add(page.path("M0,0 L8,4 L0,8 z", fill="#444444"))
    page.defs.add(arrow)
    for start, end, kind in drawing.arrows:
        (x1, y1), (x2, y2) = vertices[start].view.xy, vertices[end].view.xy
        dash = {"failed": "6,3", "ended": "2,3"}.get(_STYLES.get(kind, ("", ""))[0], "none")
        width = 2.2 if kind == PER_TASK else 1.0
        line = page.line(
            (x1, y1 + _HEIGHT / 2),
            (x2, y2 - _HEIGHT / 2),
            stroke="#444444",
            stroke_width=width,
            stroke_dasharray=dash,
        )
        line.set_markers((None, None, arrow))
        page.add(line)
    for vertex in vertices:
        (x, y), size = vertex.view.xy, vertex.view
        page.add(
            page.rect(
                (x - size.w / 2, y - _HEIGHT / 2),
                (size.w, _HEIGHT),
                rx=4,
                fill=vertex.data.colour,
                stroke="#444444",
            )
        )
        page.add(
            page.text(
                _box_text(vertex.data),
                insert=(x, y + 4),
                text_anchor="middle",
                font_size=12,
                font_family="monospace",
            )
        )
    return str(page.tostring())


def _box_text(box: Box) -> str:
    return f"{box.label} ({box.tasks})" if box.tasks > 1 else box.label
