# The models don't depend on how the program is built: once is enough.
if(NOT ORCHIDLEAD_SANITIZE)
  add_test(NAME "models: each holds and breaks without any of its guards"
           COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-models)
  set_tests_properties("models: each holds and breaks without any of its guards" PROPERTIES TIMEOUT 300)
endif()
