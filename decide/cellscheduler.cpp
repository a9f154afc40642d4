#include "decide/cellscheduler.h"
