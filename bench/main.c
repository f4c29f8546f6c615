/**
 * @file
 * bench-experiment [NAME]...: runs the named experiments, by default all, and
 * prints their tables.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "experiment.h"

typedef struct experiment {
	const char *name;
	void (*run)(void);
} experiment_t;

/* Sorted by name. */
static const experiment_t experiments[] = {
    {"admission", experiment_admission},
    {"balance", experiment_balance},
    {"cascade", experiment_cascade},
    {"exposure", experiment_exposure},
    {"placing", experiment_placing},
    {"retry", experiment_retry},
    {"weights", experiment_weights},
};

static bool
is_selected(const char *name, int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], name) == 0)
			return true;
	}
	return argc == 1;
}

int
main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	for (size_t i = 0; i < sizeof(experiments) / sizeof(*experiments);
	     i++) {
		if (!is_selected(experiments[i].name, argc, argv))
			continue;
		printf("\n### %s (%d seeds)\n\n", experiments[i].name,
		    EXPERIMENT_SEEDS);
		experiments[i].run();
		fflush(stdout);
	}
	return 0;
}
