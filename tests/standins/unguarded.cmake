# Test builds of the daemon with one guard taken out each, for `standin-prove --negative`. The header that holds the
# guard is copied with the one change, and the sources that depend on it are compiled against the copy; they are linked
# before the library, which therefore isn't asked for them. The shipped daemon knows no such change.
function(orchidlead_unguarded name header from to)
  set(directory ${CMAKE_BINARY_DIR}/unguarded/${name})
  file(READ ${CMAKE_SOURCE_DIR}/${header} text)
  string(REPLACE "${from}" "${to}" changed "${text}")
  if(changed STREQUAL text)
    message(FATAL_ERROR "${header} has no \"${from}\" any more: ${name} can't be taken out")
  endif()
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${header})
  string(REGEX REPLACE "^(src|include)/" "" relative ${header})
  file(CONFIGURE OUTPUT ${directory}/include/${relative} CONTENT "${changed}" @ONLY)
  set(sources)
  foreach(source ${ARGN})
    list(APPEND sources ${CMAKE_SOURCE_DIR}/${source})
  endforeach()
  add_executable(orchidleadd-without-${name} ${CMAKE_SOURCE_DIR}/src/daemon/main.cpp ${sources})
  target_include_directories(orchidleadd-without-${name} BEFORE PRIVATE ${directory}/include)
  target_link_libraries(orchidleadd-without-${name} PRIVATE orchidlead_daemon)
  set_target_properties(orchidleadd-without-${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/unguarded)
endfunction()

orchidlead_unguarded(answer-guard src/core/requests/default_engine_policies.h
  "struct default_engine_policies\n{\n    using answers = echoed_key_guard;"
  "struct any_answer\n{\n    static bool accepts(const attempt_key &, const attempt_key &) { return true; }\n};\nstruct default_engine_policies\n{\n    using answers = any_answer;"
  src/core/requests/request_engine.cpp)
orchidlead_unguarded(repeat-guard src/core/requests/default_engine_policies.h
  "struct default_engine_policies\n{\n    using answers = echoed_key_guard;\n    using repeats = at_most_once_guard;"
  "struct always_repeat : at_most_once_guard\n{\n    static bool mayRetry(const stage_plan &, const attempt_end &) { return true; }\n};\nstruct default_engine_policies\n{\n    using answers = echoed_key_guard;\n    using repeats = always_repeat;"
  src/core/requests/request_engine.cpp)
orchidlead_unguarded(not-run-guard src/core/requests/default_engine_policies.h
  "struct default_engine_policies\n{\n    using answers = echoed_key_guard;\n    using repeats = at_most_once_guard;"
  "struct proves_anything : at_most_once_guard\n{\n    static bool mayRetry(const stage_plan &, const attempt_end &) { return false; }\n    static bool provesNotRun(const attempt_end &) { return true; }\n};\nstruct default_engine_policies\n{\n    using answers = echoed_key_guard;\n    using repeats = proves_anything;"
  src/core/requests/request_engine.cpp)
orchidlead_unguarded(ticket-guard include/orchidlead/at_most_once_guards.h
  "TicketRunsOnce = true" "TicketRunsOnce = false"
  src/core/once/at_most_once.cpp)
orchidlead_unguarded(forward-guard include/orchidlead/configuration_manager.h
  "return offered > current;" "return offered != current;"
  src/core/node/node_control.cpp)
