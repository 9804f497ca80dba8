"""The traffic of the two users: kinds of work and their shares."""

import attrs


@attrs.frozen
class Library:
    """Documents with which prompts begin.

    Attributes:
        name: its name; works that name it share its documents.
        documents: number of documents.
        document_tokens: least and most tokens of one.
    """

    name: str
    documents: int
    document_tokens: tuple[int, int]


@attrs.frozen
class Work:
    """One kind of work in a mix.

    Attributes:
        kind: its name.
        share: share of the arrivals.
        tier: tier that it is sent in.
        customers: customers who send it, with their shares.
        deadline_s: time for the whole answer.
        model: model that answers, or ''.
        service: plain service that answers, or ''.
        method: HTTP method at the plain service.
        path: path at the plain service; "/stock" gets an item appended.
        library: documents that prompts begin with, or None.
        question_tokens: least and most tokens that follow it.
        answer_tokens: least and most tokens of the answer.
    """

    kind: str
    share: float
    tier: str
    customers: dict[str, float]
    deadline_s: float
    model: str = ''
    service: str = ''
    method: str = 'POST'
    path: str = ''
    library: Library | None = None
    question_tokens: tuple[int, int] = (0, 0)
    answer_tokens: tuple[int, int] = (0, 0)


RECIPES = Library('recipes', 3, (300, 600))
BATCHES = Library('batches', 30, (1500, 4000))
RULES = Library('rules', 4, (500, 900))
DOSSIERS = Library('dossiers', 24, (5000, 12_000))
PHOTO_GUIDE = Library('photo-guide', 1, (300, 300))

CO_OP = (
    Work(
        'recipe-question',
        0.40,
        'interactive',
        {'recetas': 0.8, 'tienda': 0.2},
        10.0,
        model='recipes',
        library=RECIPES,
        question_tokens=(20, 80),
        answer_tokens=(30, 80),
    ),
    Work(
        'batch-report',
        0.05,
        'reports',
        {'secaderos': 1.0},
        60.0,
        model='batch-reports',
        library=BATCHES,
        question_tokens=(50, 200),
        answer_tokens=(200, 400),
    ),
    Work(
        'report-redraft',
        0.03,
        'background',
        {'secaderos': 1.0},
        120.0,
        model='batch-reports',
        library=BATCHES,
        question_tokens=(50, 200),
        answer_tokens=(200, 400),
    ),
    Work(
        'member-order',
        0.20,
        'orders',
        {'carniceros-norte': 0.9, 'tienda': 0.1},
        5.0,
        service='pedidos-app',
        path='/member-orders',
    ),
    Work(
        'stock-lookup',
        0.32,
        'interactive',
        {'empacadora': 1.0},
        2.0,
        service='pedidos-app',
        method='GET',
        path='/stock',
    ),
)

AGENCY = (
    Work(
        'dossier-question',
        0.12,
        'questions',
        {'inspectores': 1.0},
        20.0,
        model='dossiers',
        library=DOSSIERS,
        question_tokens=(30, 100),
        answer_tokens=(40, 100),
    ),
    Work(
        'inspection-report',
        0.08,
        'reports',
        {'informes': 1.0},
        90.0,
        model='dossiers',
        library=DOSSIERS,
        question_tokens=(100, 300),
        answer_tokens=(200, 400),
    ),
    Work(
        'rule-question',
        0.35,
        'questions',
        {'inspectores': 1.0},
        10.0,
        model='questions',
        library=RULES,
        question_tokens=(20, 80),
        answer_tokens=(30, 80),
    ),
    Work(
        'photo-tag',
        0.20,
        'background',
        {'archivo-fotos': 1.0},
        30.0,
        model='photo-tags',
        library=PHOTO_GUIDE,
        question_tokens=(200, 400),
        answer_tokens=(8, 12),
    ),
    Work(
        'certificate',
        0.10,
        'certificates',
        {'oficina-talca': 0.7, 'oficina-curico': 0.3},
        10.0,
        service='registro-app',
        path='/certificates',
    ),
    Work(
        'record-lookup',
        0.15,
        'questions',
        {'oficina-talca': 0.7, 'oficina-curico': 0.3},
        5.0,
        service='registro-app',
        method='GET',
        path='/stock',
    ),
)

MIXES = {'co-op': CO_OP, 'agency': AGENCY}
