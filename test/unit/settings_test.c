/**
 * @file
 * Invalid settings are refused with an error that names the setting, its value,
 * range and source.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "common/settings.h"

typedef struct values {
	int64_t count;
	char address[SETTING_TEXT_SIZE];
	char secret[SETTING_TEXT_SIZE];
} values_t;

static const setting_t table[] = {
    {"max-count", SETTING_INT, offsetof(values_t, count), 1, 100, "7", "ms",
	"A number"},
    {"listen", SETTING_ADDRESS, offsetof(values_t, address), 1, 64, NULL, "",
	"An address"},
    {"key", SETTING_SECRET, offsetof(values_t, secret), 4, 40, "none", "",
	"A secret"},
};

static settings_result_t
load(values_t *values, err_t *err, const char *flag, const char *value)
{
	const char *argv[] = {
	    "test", "--listen", "127.0.0.1:80", flag, value, NULL};

	*err = (err_t){0};
	return settings_load(
	    table, 3, "TESTSET", flag != NULL ? 5 : 3, argv, values, err);
}

static void
flags_override_the_environment(void **state)
{
	values_t values;
	err_t err;

	(void)state;
	setenv("TESTSET_MAX_COUNT", "8", 1);
	assert_int_equal(load(&values, &err, NULL, NULL), SETTINGS_OK);
	assert_int_equal(values.count, 8);
	assert_int_equal(load(&values, &err, "--max-count", "9"), SETTINGS_OK);
	assert_int_equal(values.count, 9);
	unsetenv("TESTSET_MAX_COUNT");
	assert_int_equal(load(&values, &err, NULL, NULL), SETTINGS_OK);
	assert_int_equal(values.count, 7);
}

static void
range_errors_name_setting_value_range_and_source(void **state)
{
	values_t values;
	err_t err;

	(void)state;
	assert_int_equal(
	    load(&values, &err, "--max-count", "101"), SETTINGS_INVALID);
	assert_string_equal(err.detail,
	    "max-count is '101'; allowed: a whole number from 1 to 100 ms "
	    "(from flag --max-count)");
	setenv("TESTSET_MAX_COUNT", "x", 1);
	assert_int_equal(load(&values, &err, NULL, NULL), SETTINGS_INVALID);
	assert_non_null(
	    strstr(err.detail, "(from environment TESTSET_MAX_COUNT)"));
	unsetenv("TESTSET_MAX_COUNT");
}

static void
unknown_settings_are_refused(void **state)
{
	values_t values;
	err_t err;

	(void)state;
	assert_int_equal(
	    load(&values, &err, "--no-such", "1"), SETTINGS_INVALID);
	setenv("TESTSET_NO_SUCH", "1", 1);
	assert_int_equal(load(&values, &err, NULL, NULL), SETTINGS_INVALID);
	assert_non_null(strstr(err.detail, "TESTSET_NO_SUCH"));
	unsetenv("TESTSET_NO_SUCH");
}

static void
invalid_addresses_are_refused(void **state)
{
	static const char *const bad[] = {"localhost:80", "127.0.0.1",
	    "127.0.0.1:0", "127.0.0.1:x", "127.0.0.1:70000"};
	values_t values;
	err_t err;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_int_equal(
		    load(&values, &err, "--listen", bad[i]), SETTINGS_INVALID);
}

static void
secrets_are_read_from_the_environment_only_and_not_printed(void **state)
{
	values_t values;
	err_t err;

	(void)state;
	assert_int_equal(
	    load(&values, &err, "--key", "abcd"), SETTINGS_INVALID);
	setenv("TESTSET_KEY", "abc", 1);
	assert_int_equal(load(&values, &err, NULL, NULL), SETTINGS_INVALID);
	assert_null(strstr(err.detail, "abc"));
	setenv("TESTSET_KEY", "abcd", 1);
	assert_int_equal(load(&values, &err, NULL, NULL), SETTINGS_OK);
	assert_string_equal(values.secret, "abcd");
	unsetenv("TESTSET_KEY");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(flags_override_the_environment),
	    cmocka_unit_test(range_errors_name_setting_value_range_and_source),
	    cmocka_unit_test(unknown_settings_are_refused),
	    cmocka_unit_test(invalid_addresses_are_refused),
	    cmocka_unit_test(
		secrets_are_read_from_the_environment_only_and_not_printed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
