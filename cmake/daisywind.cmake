# Declares the library of one folder under source/core.
function(daisywind_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/source/core)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# Declares the test program of one library. Its cases are run by CTest.
function(daisywind_add_test library)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  set(target ${library}_test)
  add_executable(${target} ${ARG_SOURCES})
  target_link_libraries(${target} PRIVATE ${library} ${ARG_DEPENDS} doctest_main)
  add_test(NAME ${library} COMMAND ${target} WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  set_tests_properties(${library} PROPERTIES TIMEOUT 300)
endfunction()

# Declares one front end.
function(daisywind_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
